//! Scenario files on virtual time, measurements and fuzz targets.
