/* The checker must find the fault of this variant. */
#define BROKEN_SEND_BEFORE_READ_BACK
#include "KeyFate.pml"
