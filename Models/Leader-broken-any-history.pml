/* The checker must find the fault of this variant. */
#define BROKEN_ANY_HISTORY
#include "Leader.pml"
