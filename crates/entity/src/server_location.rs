//! Location of a server, and the distance between two locations.

use crate::ids;

/// Region and data centre of a server, from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServerLocation {
    /// Region. Links between regions are slow and billed by volume.
    pub region: ids::RegionName,
    /// Data centre within the region.
    pub data_centre: ids::DataCentreName,
}

/// Distance between two servers, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ServerDistance {
    /// Both run in the same data centre.
    SameDataCentre,
    /// Both run in the same region, in different data centres.
    SameRegion,
    /// They run in different regions.
    CrossRegion,
}

impl ServerLocation {
    /// Returns the distance to another location.
    #[must_use]
    pub fn distance(&self, other: &Self) -> ServerDistance {
        if self.region != other.region {
            return ServerDistance::CrossRegion;
        }
        if self.data_centre == other.data_centre {
            return ServerDistance::SameDataCentre;
        }
        ServerDistance::SameRegion
    }
}
