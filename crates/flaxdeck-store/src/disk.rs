//! The file operations that a store needs, as a trait, so that tests can replace the file system.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// File operations within one folder; files are addressed by name.
pub trait Disk {
    /// Reads a whole file. Returns `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// The error of the operating system, or `FileTooLarge` if the file has more than `max_bytes`.
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>>;

    /// Creates a file with these bytes, or replaces the content of an existing one.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Appends bytes to an existing file.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Flushes all earlier writes to a file to the disk. They are durable once this has returned.
    ///
    /// # Errors
    ///
    /// The error of the operating system; unflushed writes may be lost in that case.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file named `to`.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Flushes the folder itself to the disk. All earlier renames are durable once this has returned.
    ///
    /// # Errors
    ///
    /// The error of the operating system; unflushed renames may be lost in that case.
    fn sync_folder(&mut self) -> io::Result<()>;
}

struct OpenFile {
    name: String,
    file: File,
}

/// A folder of the file system.
pub struct Folder {
    path: PathBuf,
    /// The file that was written last, kept open for further appends.
    open: Option<OpenFile>,
}

impl Folder {
    /// Opens a folder, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        Ok(Folder {
            path: path.to_owned(),
            open: None,
        })
    }

    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
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
                "the file is larger than the size limit of a store's files",
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
        self.open_file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_all()
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
