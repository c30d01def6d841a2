#include "core/types.h"

#include <catch2/catch.hpp>

using namespace clementinelift::core;

// Guards the protocol: entry VMs of different versions must agree on the owner of a key.
TEST_CASE("key format, hash and partition match the test vectors")
{
    const Key key = makeKey(1733288000000, 0xabc, 0x0123456789abcdef);
    CHECK(toString(key) == "01939003-fa00-7abc-8123-456789abcdef");
    CHECK(issueTimeMs(key) == 1733288000000);
    CHECK(partitionOf("north", key) == 179);
    CHECK(partitionOf("south", key) == 261);
    CHECK(toString(makeKeyFromId("order-17", 1733288000000)) == "01939003-fa00-76ca-a71e-642269e49478");
}

// Guards against accepting keys that contain no issue time.
TEST_CASE("keys that are not UUIDv7 are rejected")
{
    CHECK_FALSE(parseKey("01939040-8200-4abc-8123-456789abcdef"));
    CHECK_FALSE(parseKey("01939040-8200-7abc-0123-456789abcdef"));
    CHECK_FALSE(parseKey("01939040-8200-7abc-8123-456789abcde"));
    CHECK_FALSE(parseKey("01939040x8200-7abc-8123-456789abcdef"));
    CHECK_FALSE(parseKey("01939040-8200-7abc-8123-456789abcdeg"));
    CHECK(parseKey("01939040-8200-7ABC-8123-456789abcdef"));
}

TEST_CASE("attempt ids are the same after conversion to text and back")
{
    const AttemptId attempt{Incarnation(0x1234), 99};
    CHECK(toString(attempt) == "0000000000001234-99");
    CHECK(parseAttemptId(toString(attempt)) == attempt);
    CHECK_FALSE(parseAttemptId("0000000000001234-"));
    CHECK_FALSE(parseAttemptId("0000000000001234-9x"));
}
