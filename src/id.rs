//! Names of requests, objects, hosts and places, each a type of its own.

use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

impl GroupId {
    /// Stands for all groups where a purge is told.
    pub const ALL: GroupId = GroupId(u64::MAX);
}

/// A place in [`DeploymentTerms::classes`](crate::DeploymentTerms::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// A place in [`DeploymentTerms::zone_dispatchers`](crate::DeploymentTerms::zone_dispatchers).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// The number of an attempt within its request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptIndex(pub u32);

/// What names a host, the same at every dispatcher; its address need not be.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub Rc<str>);
