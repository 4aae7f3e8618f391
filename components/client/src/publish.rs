//! Publishes weights to the platform.

use errors::Result;
use externals::{ObjectStore, WeightStore};
use fleet::Manifest;

/// Stores the weights at the origin, and then the manifest in the object store, so that a published manifest never
/// refers to weights that do not exist.
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
