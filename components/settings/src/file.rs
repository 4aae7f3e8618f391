//! Reads values from an INI file and collects the faults in them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use ini::Ini;

use crate::{Fault, Faults};

/// A settings file that is being read. Reading a key marks it as known; keys that are never read are reported as
/// faults.
pub(crate) struct IniFile {
    sections: BTreeMap<String, BTreeMap<String, String>>,
    known: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl IniFile {
    /// Parses the INI text of a file.
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

    /// Reads a required value. A missing or invalid value is reported and replaced by `T::default()`, so that the rest
    /// of the file is still checked.
    pub(crate) fn require<T: FromStr + Default>(
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

    /// Reads an optional value with a default. An invalid value is reported and replaced by the default.
    pub(crate) fn value_or_default<T: FromStr>(
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

    /// Reads an optional number with a default. A number outside of the bounds is reported and replaced by the default.
    pub(crate) fn bounded_or_default<T: FromStr + PartialOrd + Copy + Display>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        (low, high): (T, T),
    ) -> T {
        let expected = format!("a number from {low} to {high}");
        let value = self.value_or_default(section, key, default, &expected);
        if value < low || value > high {
            self.report_fault(section, key, &value.to_string(), &expected);
            return default;
        }
        value
    }

    /// Reads a required number. A number that is missing, invalid or outside of the bounds is reported and replaced by
    /// the lower bound, so that the rest of the file is still checked.
    pub(crate) fn require_bounded<T: FromStr + PartialOrd + Copy + Display>(
        &mut self,
        section: &str,
        key: &str,
        (low, high): (T, T),
    ) -> T {
        let expected = format!("a number from {low} to {high}");
        match self.read(section, key, &expected) {
            Some(Some(value)) if value >= low && value <= high => value,
            Some(Some(value)) => {
                self.report_fault(section, key, &value.to_string(), &expected);
                low
            }
            Some(None) => low,
            None => {
                self.faults.push(fault(section, key, None, &expected));
                low
            }
        }
    }

    /// Reads an optional number that must lie within bounds. A key with an empty value counts as absent.
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
        Some(self.require_bounded(section, key, (low, high)))
    }

    /// Returns the names of all sections that start with a prefix, with the prefix removed.
    pub(crate) fn sections_under(&self, prefix: &str) -> Vec<String> {
        let names = self.sections.keys();
        names.filter_map(|name| name.strip_prefix(prefix).map(str::to_owned)).collect()
    }

    /// Records a fault that the caller has found in a value.
    pub(crate) fn report_fault(&mut self, section: &str, key: &str, value: &str, expected: &str) {
        self.faults.push(fault(section, key, Some(value), expected));
    }

    /// Reports keys that were never read as faults, and fails if there is any fault.
    pub(crate) fn finish(mut self) -> Result<(), Faults> {
        for (section, values) in &self.sections {
            for (key, value) in values {
                if !self.known.contains(&(section.clone(), key.clone())) {
                    let unknown = "a known key; see docs/SETTINGS.md";
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
        // `rust-ini` always returns an unnamed section for keys above the first section header.
        if name.is_empty() && values.is_empty() {
            return;
        }
        let target = self.sections.entry(name.to_owned()).or_default();
        let mut repeated = Vec::new();
        for (key, value) in values.iter() {
            if target.insert(key.to_owned(), value.to_owned()).is_some() {
                repeated.push(fault(name, key, Some(value), "each key only once"));
            }
        }
        self.faults.extend(repeated);
    }

    /// Reads and parses a value. Returns `None` if the key is missing, and `Some(None)` if its value is invalid.
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
