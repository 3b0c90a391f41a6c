/** @file vm_list_type.h What the system needs of the platform's list of VMs. */
#pragma once

#include "core/error_type.h"
#include "core/vm_type.h"

#include <concepts>
#include <string>

namespace teaselreach::vmlist {

/** The list could not be read. */
class VmListUnavailable : public core::Error
{
public:
    /** @param what What was tried and what happened. */
    explicit VmListUnavailable(const std::string &what)
        : Error("vm_list_unavailable", what)
    { }
};

/** A source of the list; read() throws VmListUnavailable. */
template <typename T>
concept VmListSource = requires(T &source)
{
    {
        source.read()
        } -> std::same_as<core::VmList>;
};

} // namespace teaselreach::vmlist
