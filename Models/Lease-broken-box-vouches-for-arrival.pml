/* The checker must find the fault of this variant. */
#define BROKEN_BOX_VOUCHES_FOR_ARRIVAL
#include "Lease.pml"
