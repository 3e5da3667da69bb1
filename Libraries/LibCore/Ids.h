#pragma once

#include <LibCore/StrongId.h>

/// Ids shared by several libraries. Ids that are indices refer to the settings that they were resolved from.
namespace Core {

using RequestId = StrongId<struct RequestTag>;
using ClassId = StrongId<struct ClassTag, std::uint32_t>;
using AccountId = StrongId<struct AccountTag, std::uint32_t>;
using EndpointId = StrongId<struct EndpointTag, std::uint32_t>;
/// 0 is the most urgent tier.
using TierId = StrongId<struct TierTag, std::uint32_t>;
/// Position of a record in a stream of the platform's log.
using Offset = StrongId<struct OffsetTag>;

}
