//! Switching mechanisms off by name.

use fleet::{Ablation, Mechanism};

#[test]
fn every_mechanism_is_switched_off_by_its_name_and_alone() {
    for mechanism in Mechanism::ALL {
        let ablation: Ablation = mechanism.name().parse().unwrap();
        let off: Vec<_> = Mechanism::ALL.into_iter().filter(|it| !ablation.keeps(*it)).collect();
        assert_eq!(off, [mechanism]);
    }
}

#[test]
fn an_empty_text_switches_nothing_off() {
    let ablation: Ablation = " ".parse().unwrap();
    assert!(ablation.is_empty());
    assert!(Mechanism::ALL.into_iter().all(|it| ablation.keeps(it)));
}

#[test]
fn names_are_split_by_commas_and_written_back() {
    let ablation: Ablation = "turns, ranks".parse().unwrap();
    assert_eq!(ablation, Ablation::without([Mechanism::Turns, Mechanism::Ranks]));
    assert_eq!(ablation.to_string().parse(), Ok(ablation));
}

#[test]
fn an_unknown_name_is_an_error_that_repeats_it() {
    let error = "turns,luck".parse::<Ablation>().unwrap_err();
    assert!(error.to_string().contains("luck"));
}
