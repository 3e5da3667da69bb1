/* The checker must find the fault of this variant. */
#define BROKEN_SEND_ON_ANY_FATE
#include "KeyFate.pml"
