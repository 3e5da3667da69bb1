/* The checker must find the fault of this variant. */
#define BROKEN_SETTLE_ON_TIME_OUT
#include "KeyFate.pml"
