//! Tests of `store_time`.

use fleet::{Announcement, Announcements, Millis};
use proptest::prelude::*;

use super::*;

fn position(revision: u64) -> StorePosition {
    StorePosition { era: None, revision }
}

/// Records answers given as (milliseconds before now, newest revision). The store's clock shows 50,000 now.
fn record_answers(answers: &[(u64, u64)]) -> (StoreTime, Instant) {
    // The process's clock starts at zero, so a time in the future leaves room for earlier ones.
    let now = Instant::now() + Duration::from_secs(10);
    let mut time = StoreTime::default();
    for (age_ms, newest) in answers {
        time.record(position(*newest), 50_000 - age_ms, now - Duration::from_millis(*age_ms));
    }
    (time, now)
}

#[test]
fn a_row_was_written_after_the_last_answer_with_an_older_revision() {
    let (time, now) = record_answers(&[(900, 7), (500, 9), (100, 12)]);
    let at = now - Duration::from_millis(500);
    assert_eq!(time.written_after(position(11)), Some(WrittenAfter { clock_ms: 49_500, at }));
    assert_eq!(time.written_after(position(7)), None);
}

#[test]
fn answers_may_be_recorded_out_of_order() {
    let (time, _) = record_answers(&[(500, 9), (100, 12), (900, 7)]);
    assert_eq!(time.written_after(position(9)).map(|it| it.clock_ms), Some(49_100));
    assert_eq!(time.written_after(position(13)).map(|it| it.clock_ms), Some(49_900));
}

#[test]
fn revisions_of_another_era_give_no_bound() {
    let (time, _) = record_answers(&[(500, 9)]);
    assert_eq!(time.written_after(StorePosition { era: Some(2), revision: 11 }), None);
}

/// An answer that was requested long before it was produced would put the store's clock too far ahead.
#[test]
fn the_clock_is_taken_from_the_most_precise_answer() {
    let (mut time, now) = record_answers(&[(900, 7)]);
    time.record(position(9), 49_800, now - Duration::from_millis(1000));
    assert_eq!(time.clock_ms(now), Some(50_001));
}

#[test]
fn readings_are_bounded() {
    let (mut time, now) = record_answers(&[]);
    (0..2000).for_each(|it| time.record(position(it), 40_000 + it, now));
    assert!(time.readings.len() <= MAX_READINGS);
    assert_eq!(time.written_after(position(5000)).map(|it| it.clock_ms), Some(41_999));
}

/// Records an answer that was produced at `produced_ms` after `start`, when the store's clock showed the same value.
fn record_answer(time: &mut StoreTime, start: Instant, produced_ms: u64, answer: AnswerTimes) {
    let at = |ms| start + Duration::from_millis(ms);
    let newest = time.readings.len();
    time.record(position(newest as u64), produced_ms, at(produced_ms - answer.call_ms));
    time.readings[newest].arrived_at = at(produced_ms + answer.transit_ms);
}

/// How an answer reached the process.
#[derive(Clone, Copy, Debug)]
struct AnswerTimes {
    /// The time from the earliest possible production of the answer until its production, in milliseconds.
    call_ms: u64,
    /// The time until it arrived, in milliseconds.
    transit_ms: u64,
}

#[test]
fn the_clock_is_reported_once_answers_have_bounded_it_closely() {
    let (mut time, start) = (StoreTime::default(), Instant::now());
    let now = start + Duration::from_millis(9000);
    record_answer(&mut time, start, 2000, AnswerTimes { call_ms: 300, transit_ms: 600 });
    assert_eq!(time.clock_ms_to_report(now), None);
    record_answer(&mut time, start, 3000, AnswerTimes { call_ms: 600, transit_ms: 30 });
    assert_eq!(time.clock_ms_to_report(now), None);
    record_answer(&mut time, start, 4000, AnswerTimes { call_ms: 90, transit_ms: 300 });
    assert_eq!(time.clock_ms_to_report(now), Some(9020));
    record_answer(&mut time, start, 5000, AnswerTimes { call_ms: 10, transit_ms: 20 });
    assert_eq!(time.clock_ms_to_report(now), Some(9011));
}

/// A gateway that starts against a slow store hears the clock from others first.
#[test]
fn a_slow_answer_of_the_store_does_not_make_a_version_look_older() {
    let (mut time, start) = (StoreTime::default(), Instant::now());
    let now = start + Duration::from_millis(10_000);
    time.record_report(now, 10_000);
    record_answer(&mut time, start, 9900, AnswerTimes { call_ms: 1300, transit_ms: 100 });
    let mut reported_versions = [named(None, Some(9000))];
    time.set_ages(now, &mut reported_versions);
    assert_eq!(reported_versions[0].age_ms, Some(1000));
    record_answer(&mut time, start, 9950, AnswerTimes { call_ms: 10, transit_ms: 20 });
    time.set_ages(now, &mut reported_versions);
    assert_eq!(reported_versions[0].age_ms, Some(1011));
}

proptest! {
    /// Late answers do not put the reported clock further ahead or behind than receivers can bear.
    #[test]
    fn the_reported_clock_is_close_to_that_of_the_store(
        answers in prop::collection::vec((1000..9000u64, 0..600u64, 0..600u64), 1..12),
    ) {
        let (mut time, start) = (StoreTime::default(), Instant::now());
        let now_ms = 10_000;
        let mut answers = answers;
        answers.sort_by_key(|it| it.0);
        for (produced_ms, call_ms, transit_ms) in &answers {
            let (call_ms, transit_ms) = (*call_ms, *transit_ms);
            record_answer(&mut time, start, *produced_ms, AnswerTimes { call_ms, transit_ms });
        }
        let clock_ms = time.clock_ms_to_report(start + Duration::from_millis(now_ms));
        let is_close = |(_, call_ms, transit_ms): &(u64, u64, u64)| call_ms + transit_ms < 150;
        prop_assert!(clock_ms.is_some() || !answers.iter().any(is_close));
        if let Some(clock_ms) = clock_ms {
            prop_assert!(clock_ms <= now_ms + MAX_REPORTED_LEAD_MS, "{clock_ms}");
            prop_assert!(clock_ms + MAX_REPORTED_LAG_MS >= now_ms, "{clock_ms}");
        }
    }
}

fn named(age_ms: Option<u64>, after_ms: Option<u64>) -> AnnouncedVersion {
    AnnouncedVersion { model: "m".into(), version: 2, age_ms, after_ms }
}

/// A report that was delayed by three seconds on a narrow link contains an age that is three seconds too low.
#[test]
fn reported_ages_follow_the_clock_and_not_the_arrival_of_the_report() {
    let mut time = StoreTime::default();
    let now = Instant::now();
    time.record_report(now, 50_000);
    time.record_report(now, 47_000);
    let mut reported_versions =
        [named(Some(10), Some(49_400)), named(Some(10), None), named(None, None)];
    time.set_ages(now, &mut reported_versions);
    let ages: Vec<Option<u64>> = reported_versions.iter().map(|it| it.age_ms).collect();
    assert_eq!(ages, [Some(600), Some(10), None]);
}

#[test]
fn a_report_of_the_clock_expires() {
    let mut reported = ReportedClock::default();
    let now = Instant::now();
    reported.record(now, 50_000);
    reported.record(now + MAX_READING_AGE, 50_100 + MAX_READING_AGE.as_millis() as u64);
    assert_eq!(
        reported.clock_ms(now + MAX_READING_AGE),
        Some(50_100 + MAX_READING_AGE.as_millis() as u64)
    );
    reported.record(now + MAX_READING_AGE, 1_000_000);
    reported.record(now + 2 * MAX_READING_AGE, 0);
    reported.record(now + 3 * MAX_READING_AGE, 100_000);
    assert_eq!(reported.clock_ms(now + 3 * MAX_READING_AGE), Some(100_000));
}

/// When a version is announced, in milliseconds.
const ANNOUNCED_MS: u64 = 10_000;
/// The maximum time between the last reading of the store without a version and its announcement, in milliseconds.
const MAX_READING_GAP_MS: u64 = 300;
/// How far a reported clock may be ahead, in milliseconds.
const MAX_CLOCK_ERROR_MS: u64 = MAX_REPORTED_LEAD_MS;
/// Rounding of the ages and dates in a report, in milliseconds.
const ROUNDING_MS: u64 = 2;

/// A report on a version that another process sends.
#[derive(Clone, Copy, Debug)]
struct VersionReport {
    sent_ms: u64,
    delay_ms: u64,
    /// How far its clock is ahead, in milliseconds. `None` if it does not report the clock.
    clock_error_ms: Option<u64>,
    /// When the version had not been announced yet, in milliseconds.
    after_ms: u64,
}

impl VersionReport {
    fn arrival_ms(&self) -> u64 {
        self.sent_ms + self.delay_ms
    }
}

prop_compose! {
    fn any_report()(
        sent_ms in ANNOUNCED_MS..ANNOUNCED_MS + 4000,
        delay_ms in 0..3000u64,
        clock_error_ms in prop::option::of(0..=MAX_CLOCK_ERROR_MS),
        after_ms in ANNOUNCED_MS - MAX_READING_GAP_MS..=ANNOUNCED_MS,
    ) -> VersionReport {
        VersionReport { sent_ms, delay_ms, clock_error_ms, after_ms }
    }
}

/// The date of a version at a process that receives reports on it, in milliseconds.
fn date_ms(mut reports: Vec<VersionReport>) -> u64 {
    let start = Instant::now();
    let mut time = StoreTime::default();
    let mut announcements = Announcements::default();
    reports.sort_by_key(VersionReport::arrival_ms);
    for report in reports {
        let now = start + Duration::from_millis(report.arrival_ms());
        let after_ms = report.clock_error_ms.map(|_| report.after_ms);
        let mut announced = named(Some(report.sent_ms - report.after_ms), after_ms);
        if let Some(error_ms) = report.clock_error_ms {
            time.record_report(now, report.sent_ms + error_ms);
        }
        time.set_ages(now, [&mut announced]);
        announcements.add(Announcement::received_at(Millis(report.arrival_ms()), &announced));
    }
    announcements.get(2).unwrap().at.0
}

proptest! {
    /// Reports arrive in any order, late, with or without the clock. Of those with the best date, one is not late.
    #[test]
    fn a_version_is_dated_neither_late_nor_early_once_a_report_was_not_delayed(
        mut reports in prop::collection::vec(any_report(), 0..8),
        sent_ms in ANNOUNCED_MS..ANNOUNCED_MS + 7000,
        clock_error_ms in 0..=MAX_CLOCK_ERROR_MS,
    ) {
        let punctual = VersionReport {
            sent_ms,
            delay_ms: 0,
            clock_error_ms: Some(clock_error_ms),
            after_ms: ANNOUNCED_MS,
        };
        reports.push(punctual);
        let date_ms = date_ms(reports);
        prop_assert!(date_ms <= ANNOUNCED_MS + ROUNDING_MS, "{date_ms}");
        prop_assert!(date_ms + MAX_CLOCK_ERROR_MS + ROUNDING_MS >= ANNOUNCED_MS, "{date_ms}");
    }
}
