//! The few things that a store does with files, so that tests can put something else in their place.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// Files of one folder, by name.
pub trait Disk {
    /// All bytes of a file; none if there is no such file.
    ///
    /// # Errors
    ///
    /// That of the system, or `FileTooLarge` if it has more than `max_bytes`.
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>>;

    /// Makes a file anew with these bytes.
    ///
    /// # Errors
    ///
    /// That of the system.
    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Adds bytes to the end of a file.
    ///
    /// # Errors
    ///
    /// That of the system.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// What was written to a file is on the disk once this has returned.
    ///
    /// # Errors
    ///
    /// That of the system; what was written may be lost then.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of any file of that name.
    ///
    /// # Errors
    ///
    /// That of the system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Renames in the folder are on the disk once this has returned.
    ///
    /// # Errors
    ///
    /// That of the system; the renames may be lost then.
    fn sync_folder(&mut self) -> io::Result<()>;
}

struct OpenFile {
    name: String,
    file: File,
}

/// A folder of the file system.
pub struct Folder {
    path: PathBuf,
    /// The file that is appended to, kept open.
    open: Option<OpenFile>,
}

impl Folder {
    /// Opens a folder; makes it if it is not there.
    ///
    /// # Errors
    ///
    /// That of the system.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        Ok(Folder {
            path: path.to_owned(),
            open: None,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let open = match self.open.take().filter(|open| open.name == name) {
            Some(open) => open,
            None => OpenFile {
                name: name.to_owned(),
                file: OpenOptions::new().append(true).open(self.path.join(name))?,
            },
        };
        Ok(&mut self.open.insert(open).file)
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            opened => opened?,
        };
        let mut bytes = Vec::new();
        file.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
        if bytes.len() > max_bytes {
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
        self.open = Some(OpenFile {
            name: name.to_owned(),
            file,
        });
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
        if let Some(open) = self.open.as_mut().filter(|open| open.name == from) {
            open.name = to.to_owned();
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
