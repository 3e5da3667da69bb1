/* The checker must find the fault of this variant. */
#define BROKEN_TAKE_ANY_PEER_VERSION
#include "Settings.pml"
