//! The announced versions of weights, and until when requests may start on older ones.

use std::collections::HashMap;

use fleet::{AnnouncedVersion, Announcement, Announcements, Millis, ModelName};

/// Margin before its version deadline at which an older version is no longer used, in milliseconds:
/// before a request starts it may wait for a reservation, the reservation may be used a little
/// later, and the request then waits in the runner's queue.
const VERSION_MARGIN_MS: u64 = 1200;

/// The announced versions of each model.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnnouncedVersions {
    /// How long requests may start on an older version after a newer one was announced, in
    /// milliseconds.
    version_ms: u64,
    by_model: HashMap<ModelName, Announcements>,
}

impl AnnouncedVersions {
    /// Creates an empty set.
    pub(crate) fn new(version_ms: u64) -> Self {
        Self { version_ms, by_model: HashMap::new() }
    }

    /// Changes how long requests may start on an older version, in milliseconds.
    pub(crate) fn set_version_ms(&mut self, version_ms: u64) {
        self.version_ms = version_ms;
    }

    /// Records a version. Each version keeps its own version deadline when a newer one is
    /// announced, also if the newer one was received first. A process that receives a version late,
    /// or starts after the announcement, learns its age from other processes.
    pub(crate) fn record(&mut self, now: Millis, announced: AnnouncedVersion) {
        let announcement = Announcement::received_at(now, &announced);
        let announcements = self.by_model.entry(announced.model).or_default();
        announcements.add(announcement);
        announcements.remove_superseded(now, self.version_ms);
    }

    /// The oldest version of a model that a request may start on now.
    pub(crate) fn required(&self, now: Millis, model: &ModelName) -> u64 {
        let announcements = self.by_model.get(model);
        announcements.map_or(0, |it| it.required(now.plus(VERSION_MARGIN_MS), self.version_ms))
    }

    /// The time from which no request may start on a version of a model. `None` if there is no
    /// newer one.
    pub(crate) fn deadline_of(&self, model: &ModelName, held: u64) -> Option<Millis> {
        self.by_model.get(model)?.deadline_of(held, self.version_ms)
    }

    /// The versions of each model to report to other processes, oldest first.
    pub(crate) fn to_report(&self, now: Millis) -> Vec<AnnouncedVersion> {
        let of_model = |(model, announcements): (&ModelName, &Announcements)| {
            let reported = announcements.to_report(now, self.version_ms).map(|it| {
                let age_ms = it.known.then(|| now.since(it.at).0);
                let (model, version, after_ms) = (model.clone(), it.version, it.after_ms);
                AnnouncedVersion { model, version, age_ms, after_ms }
            });
            reported.collect::<Vec<_>>()
        };
        self.by_model.iter().flat_map(of_model).collect()
    }
}
