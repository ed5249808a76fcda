//! Macros that give types their common sets of derives.

/// Derives the common traits of value types: `Clone`, `Debug` and equality.
///
/// A wire type adds its own `#[derive(bincode::Encode, bincode::Decode)]`, since that derive names
/// its local variables after the fields and so must be written where the fields are.
macro_rules! value_types {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )*
    };
}

/// Derives the common traits of small types that are copied, ordered and used as map keys.
macro_rules! copy_types {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )*
    };
}

/// Declares `Copy` keys: numbers that identify an object in an arena or in the replicated state.
macro_rules! key_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub struct $name(pub $inner);

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    self.0.fmt(f)
                }
            }
        )*
    };
}

pub(crate) use {copy_types, key_types, value_types};
