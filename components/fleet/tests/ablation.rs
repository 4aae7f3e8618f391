//! Disabling mechanisms by name.

use fleet::{Ablation, Mechanism};

#[test]
fn each_name_disables_only_its_mechanism() {
    for mechanism in Mechanism::ALL {
        let ablation: Ablation = mechanism.name().parse().unwrap();
        let disabled: Vec<_> =
            Mechanism::ALL.into_iter().filter(|it| !ablation.is_enabled(*it)).collect();
        assert_eq!(disabled, [mechanism]);
    }
}

#[test]
fn empty_string_disables_nothing() {
    let ablation: Ablation = " ".parse().unwrap();
    assert!(ablation.is_empty());
    assert!(Mechanism::ALL.into_iter().all(|it| ablation.is_enabled(it)));
}

#[test]
fn comma_separated_names_round_trip() {
    let ablation: Ablation = "turns, ranks".parse().unwrap();
    assert_eq!(ablation, Ablation::without([Mechanism::Turns, Mechanism::Ranks]));
    assert_eq!(ablation.to_string().parse(), Ok(ablation));
}

#[test]
fn error_for_an_unknown_name_contains_the_name() {
    let error = "turns,luck".parse::<Ablation>().unwrap_err();
    assert!(error.to_string().contains("luck"));
}
