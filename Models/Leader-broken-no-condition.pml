/* The checker must find the fault of this variant. */
#define BROKEN_NO_CONDITION
#include "Leader.pml"
