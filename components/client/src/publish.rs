//! Hands a file of weights to the platform.

use errors::Result;
use externals::{ObjectStore, WeightStore};
use fleet::Manifest;

/// Stores the bytes at the origin and then the manifest in the object store, so that a manifest
/// never names bytes that are not there.
pub async fn publish(
    weights: &dyn WeightStore,
    objects: &dyn ObjectStore,
    manifest: &Manifest,
    content: Vec<u8>,
) -> Result<()> {
    let version = manifest.version();
    weights.publish(version, content).await?;
    objects.put(&format!("manifests/{version}"), manifest.encode()).await
}
