//! `silverdock publish`: publishes a weights file to the platform.

use std::sync::Arc;

use async_io::block_on;
use errors::Result;
use externals::{HttpObjects, HttpWeights};
use fleet::Manifest;
use serde::Serialize;

use crate::cli::{Cli, Publish};
use crate::{cmd, messages};

/// The JSON output.
#[derive(Serialize)]
struct Published {
    version: String,
    label: String,
    bytes: u64,
    chunks: u32,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Publish) -> Result<()> {
    let content = std::fs::read(&args.file);
    let content =
        content.map_err(|error| cmd::usage_error(&format!("{}: {error}", args.file.display())))?;
    let name = args.file.file_name().map(|name| name.to_string_lossy().into_owned());
    let label = args.label.clone().or(name).unwrap_or_default();
    let manifest = Manifest::describe(&label, &content)?;
    let weights = Arc::new(HttpWeights(args.weights));
    let objects = Arc::new(HttpObjects(args.objects));
    block_on(client::publish(&*weights, &*objects, &manifest, content))?;
    let published = Published {
        version: manifest.version().to_string(),
        label,
        bytes: manifest.bytes,
        chunks: manifest.chunks(),
    };
    messages::print_value(cli.json, &published, |it| it.version.clone());
    Ok(())
}
