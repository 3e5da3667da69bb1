#include <TestMain.h>

#include "RevokedKeySite.h"

TEST_CASE(
    "a box that starts after the store's copy and before the operator writes again serves no key that was revoked")
{
    RevokedKeySite site;
    site.revoke();
    site.wait_until_bound_is_over();
    site.lose_revocation();
    site.start("b4");
    site.try_revoked_key({ "b4" });
    site.write_again({ "b1", "b2", "b3", "b4" });
}
