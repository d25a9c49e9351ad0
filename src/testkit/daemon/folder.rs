//! A temporary directory.
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary directory of this process, which is removed when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a directory.
    ///
    /// # Errors
    ///
    /// The directory can't be created.
    pub fn new() -> io::Result<Folder> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("yokelift-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// The path of the directory.
    pub(super) fn root(&self) -> &Path {
        &self.0
    }

    /// The path of a file in it.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Replaces a file in it atomically: a daemon that starts or reloads in the meantime reads
    /// either the previous file or the complete new one.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn put(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = self.path(name);
        let partial = self.path(&format!("{name}.partial{number}"));
        std::fs::write(&partial, text)?;
        std::fs::rename(&partial, &path)?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
