//! Unit tests for `bitmap`.

use super::*;

#[test]
fn can_insert_and_remove_chunks() {
    let mut bitmap = Bitmap::new(130);
    bitmap.insert(0);
    bitmap.insert(129);
    bitmap.insert(500);
    assert_eq!(bitmap.count(), 2);
    bitmap.remove(0);
    assert!(!bitmap.contains(0) && bitmap.contains(129));
    assert!(Bitmap::full(130).is_full());
}
