#include <TestMain.h>

#include "RevokedKeySite.h"

namespace {

std::vector<std::string> const all_boxes { "b1", "b2", "b3" };

}

TEST_CASE("a key that was revoked just before the moment of the store's copy stays dead at all boxes")
{
    RevokedKeySite site;
    CHECK(site.status("b1", "key") == RevokedKeySite::status_ok);
    site.revoke();
    site.lose_revocation();
    site.try_revoked_key(all_boxes);
    for (auto const* box : RevokedKeySite::boxes)
        CHECK(site.status(box, "other") == RevokedKeySite::status_ok);
    site.write_again(all_boxes);
}

TEST_CASE("a box that stood still while the store came back from a copy serves no key that was revoked")
{
    RevokedKeySite site;
    site.revoke();
    site.process("b2").freeze();
    site.lose_revocation();
    site.try_revoked_key({ "b1", "b3" });
    site.process("b2").thaw();
    site.try_revoked_key(all_boxes);
    site.write_again(all_boxes);
}

TEST_CASE("a key stays dead over two copies in a row, with the operator late after each")
{
    RevokedKeySite site;
    site.revoke();
    site.lose_revocation();
    site.try_revoked_key(all_boxes);
    site.write_again(all_boxes);
    site.lose_revocation();
    site.try_revoked_key(all_boxes);
    site.write_again(all_boxes);
}
