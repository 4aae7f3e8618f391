//! Lives of a runner, told apart.

use fleet::{LifeChange, LifeWord};

fn word(born: Option<u64>, sequence: u64) -> LifeWord {
    LifeWord { born, sequence }
}

#[test]
fn a_later_birth_is_another_life_though_as_many_orders_were_taken() {
    assert_eq!(word(Some(5), 2).compare(word(Some(9), 2)), LifeChange::Began);
    assert_eq!(word(Some(5), 2).compare(word(Some(5), 3)), LifeChange::Same);
}

#[test]
fn a_word_of_an_earlier_life_is_known_for_one() {
    assert_eq!(word(Some(9), 0).compare(word(Some(5), 7)), LifeChange::Earlier);
}

#[test]
fn where_no_birth_is_told_fewer_orders_are_another_life() {
    assert_eq!(word(None, 2).compare(word(None, 1)), LifeChange::Began);
    assert_eq!(word(None, 2).compare(word(None, 2)), LifeChange::Same);
}

#[test]
fn a_birth_that_is_told_no_more_says_nothing() {
    assert_eq!(word(Some(5), 2).compare(word(None, 0)), LifeChange::Untold);
}

#[test]
fn the_first_birth_that_is_told_begins_a_life() {
    assert_eq!(word(None, 2).compare(word(Some(5), 2)), LifeChange::Began);
}
