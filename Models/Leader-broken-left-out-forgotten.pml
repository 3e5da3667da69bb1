/* The checker must find the fault of this variant. */
#define BROKEN_LEFT_OUT_FORGOTTEN
#include "Leader.pml"
