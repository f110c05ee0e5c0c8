//! In the making.
use std::path::Path;
use std::time::Duration;
pub fn measure(_: Duration, _: &Path, _: &[u32]) -> std::io::Result<()> {
    Ok(())
}
