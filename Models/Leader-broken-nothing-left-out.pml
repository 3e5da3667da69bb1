/* The checker must find the fault of this variant. */
#define BROKEN_NOTHING_LEFT_OUT
#include "Leader.pml"
