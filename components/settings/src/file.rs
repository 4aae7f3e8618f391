//! Reads values out of an INI file and collects what is wrong with them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use ini::Ini;

use crate::{Fault, Faults};

/// A file being read. Each value asked for is marked as known; what is never asked for is a fault.
pub(crate) struct File {
    sections: BTreeMap<String, BTreeMap<String, String>>,
    known: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl File {
    /// Parses the text of a file.
    pub(crate) fn parse(text: &str) -> Result<Self, Faults> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            let expected = format!("INI text ({error})");
            Faults(vec![fault("file", "", Some(text.lines().next().unwrap_or("")), &expected)])
        })?;
        let mut file = Self { sections: BTreeMap::new(), known: BTreeSet::new(), faults: vec![] };
        for (section, values) in &ini {
            file.add_section(section.unwrap_or(""), values);
        }
        Ok(file)
    }

    /// A value that must be there. Falls back to `T::default()` when it is at fault, so that the
    /// rest of the file is still checked.
    pub(crate) fn need<T: FromStr + Default>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> T {
        match self.read(section, key, expected) {
            Some(value) => value.unwrap_or_default(),
            None => {
                self.faults.push(fault(section, key, None, expected));
                T::default()
            }
        }
    }

    /// A value with a default.
    pub(crate) fn with_default<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        expected: &str,
    ) -> T {
        match self.read(section, key, expected) {
            Some(Some(value)) => value,
            _ => default,
        }
    }

    /// A number with a default that must lie within bounds.
    pub(crate) fn bounded<T: FromStr + PartialOrd + Copy + Display>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        (low, high): (T, T),
    ) -> T {
        let expected = format!("a number from {low} to {high}");
        let value = self.with_default(section, key, default, &expected);
        if value < low || value > high {
            self.complain(section, key, &value.to_string(), &expected);
            return default;
        }
        value
    }

    /// A number that must be there and lie within bounds. Falls back to the lower one when it is at fault, so
    /// that the rest of the file is still checked.
    pub(crate) fn need_bounded<T: FromStr + PartialOrd + Copy + Display>(
        &mut self,
        section: &str,
        key: &str,
        (low, high): (T, T),
    ) -> T {
        let expected = format!("a number from {low} to {high}");
        match self.read(section, key, &expected) {
            Some(Some(value)) if value >= low && value <= high => value,
            Some(Some(value)) => {
                self.complain(section, key, &value.to_string(), &expected);
                low
            }
            Some(None) => low,
            None => {
                self.faults.push(fault(section, key, None, &expected));
                low
            }
        }
    }

    /// A number that must lie within bounds where it is there. A key without a value counts as absent.
    pub(crate) fn optional_bounded(
        &mut self,
        section: &str,
        key: &str,
        (low, high): (f64, f64),
    ) -> Option<f64> {
        self.known.insert((section.to_owned(), key.to_owned()));
        let text = self.sections.get(section)?.get(key)?.trim();
        if text.is_empty() {
            return None;
        }
        Some(self.need_bounded(section, key, (low, high)))
    }

    /// The sections whose names start with a prefix, without it.
    pub(crate) fn sections_under(&self, prefix: &str) -> Vec<String> {
        let names = self.sections.keys();
        names.filter_map(|name| name.strip_prefix(prefix).map(str::to_owned)).collect()
    }

    /// Records a fault that only the caller can see.
    pub(crate) fn complain(&mut self, section: &str, key: &str, value: &str, expected: &str) {
        self.faults.push(fault(section, key, Some(value), expected));
    }

    /// Ends the reading: faults found so far and keys nobody asked for.
    pub(crate) fn finish(mut self) -> Result<(), Faults> {
        for (section, values) in &self.sections {
            for (key, value) in values {
                if !self.known.contains(&(section.clone(), key.clone())) {
                    let unknown = "no such key; see docs/SETTINGS.md";
                    self.faults.push(fault(section, key, Some(value), unknown));
                }
            }
        }
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(self.faults))
        }
    }

    fn add_section(&mut self, name: &str, values: &ini::Properties) {
        // `rust-ini` hands out a nameless section for keys above the first header.
        if name.is_empty() && values.is_empty() {
            return;
        }
        let target = self.sections.entry(name.to_owned()).or_default();
        let mut repeated = Vec::new();
        for (key, value) in values.iter() {
            if target.insert(key.to_owned(), value.to_owned()).is_some() {
                repeated.push(fault(name, key, Some(value), "each key once"));
            }
        }
        self.faults.extend(repeated);
    }

    /// `None` when the key is absent, `Some(None)` when its value is at fault.
    fn read<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<Option<T>> {
        self.known.insert((section.to_owned(), key.to_owned()));
        let value = self.sections.get(section)?.get(key)?.clone();
        match value.trim().parse() {
            Ok(parsed) => Some(Some(parsed)),
            Err(_) => {
                self.faults.push(fault(section, key, Some(&value), expected));
                Some(None)
            }
        }
    }
}

fn fault(section: &str, key: &str, value: Option<&str>, expected: &str) -> Fault {
    Fault {
        section: section.to_owned(),
        key: key.to_owned(),
        value: value.map(str::to_owned),
        expected: expected.to_owned(),
    }
}
