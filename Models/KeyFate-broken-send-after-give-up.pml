/* The checker must find the fault of this variant. */
#define BROKEN_SEND_AFTER_GIVE_UP
#include "KeyFate.pml"
