//! Where a server runs, and how far two servers are apart.

use crate::ids;

/// Region and data centre of a server, as its settings give them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServerLocation {
    /// Region; links between regions are slow and billed by volume.
    pub region: ids::RegionName,
    /// Data centre within the region.
    pub data_centre: ids::DataCentreName,
}

/// Distance between two servers, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ServerDistance {
    /// Both run in one data centre.
    SameDataCentre,
    /// Both run in one region, in different data centres.
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
