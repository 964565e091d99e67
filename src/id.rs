//! Identifiers of requests, objects, hosts and locations, each a type of its own.

use std::rc::Rc;

/// Identifies a request within its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The id that a client gave a request; hosts identify the request by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientRequestId(pub u64);

/// Identifies an object, the same at every dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectId(pub u64);

/// Identifies a group of objects that are purged together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

impl GroupId {
    /// The value by which a purge applies to all groups.
    pub const ALL: GroupId = GroupId(u64::MAX);
}

/// An index into [`DeploymentTerms::classes`](crate::DeploymentTerms::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// An index into [`DeploymentTerms::zone_dispatchers`](crate::DeploymentTerms::zone_dispatchers).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Identifies a cell: a part of a location, whose hosts may deduplicate requests among each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// The number of an attempt within its request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptIndex(pub u32);

/// Identifies a host, the same at every dispatcher; its address may differ between dispatchers.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub Rc<str>);
