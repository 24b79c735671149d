//! Serde representation of names: text in serialised documents, bytes in memory.

use bytes::Bytes;
use damasktrack_entity::ids;

pub(crate) fn serialize<S: serde::Serializer>(name: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&ids::text(name))
}

pub(crate) fn deserialize<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = <String as serde::Deserialize>::deserialize(deserializer)?;
    Ok(Bytes::from(text))
}
