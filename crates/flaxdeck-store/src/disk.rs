//! The few things that a store does with files, so that tests can put something else in their place.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// Files of one folder, by name.
pub trait Disk {
    /// All bytes of a file, up to a bound; none if there is no such file.
    fn read(&mut self, name: &str, most: usize) -> io::Result<Option<Vec<u8>>>;
    /// Makes a file anew with these bytes.
    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// What was written to a file is on the disk once this has come back well.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// The same for renames in the folder.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
pub struct Folder {
    path: PathBuf,
    /// The file that is appended to, kept open.
    open: Option<(String, File)>,
}

impl Folder {
    /// Makes the folder if it is not there.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        Ok(Folder {
            path: path.to_owned(),
            open: None,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        self.open
            .as_mut()
            .map(|(_, file)| file)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str, most: usize) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            opened => opened?,
        };
        let mut bytes = Vec::new();
        file.take(most as u64 + 1).read_to_end(&mut bytes)?;
        if bytes.len() > most {
            return Err(io::Error::new(
                ErrorKind::FileTooLarge,
                "larger than a store's file can be",
            ));
        }
        Ok(Some(bytes))
    }

    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open = None;
        let mut file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.path.join(name))?;
        file.set_len(0)?;
        file.write_all(bytes)?;
        self.open = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))?;
        if let Some((open, _)) = self.open.as_mut().filter(|(open, _)| open == from) {
            *open = to.to_owned();
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
