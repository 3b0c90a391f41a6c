/** @file message_pack_func.h Parses MessagePack documents of other VMs. */
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace teaselreach::proxy {

/**
 * @param bytes A MessagePack document.
 * @return The document.
 * @throws nlohmann::json::exception if it is malformed or nested more deeply than any message; the
 * parser recurses, and a document of nothing but nested arrays would exhaust its stack
 */
nlohmann::json parseMessagePack(std::string_view bytes);

} // namespace teaselreach::proxy
