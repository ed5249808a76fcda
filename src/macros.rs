//! Macros that give types their common sets of derives.

/// Derives the common set for a type of values: clone, print and compare.
///
/// A wire type adds `#[derive(bincode::Encode, bincode::Decode)]` of its own: that derive names its
/// locals after the fields, and so has to be written where the fields are.
macro_rules! value_types {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )*
    };
}

/// Derives the common set for a small type that is copied, ordered and used as a map key.
macro_rules! copy_types {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )*
    };
}

/// Declares `Copy` keys: numbers that name one object in an arena or in the replicated state.
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
