/** @file vm_list_fuzz.cpp The platform's list of VMs. */
#include "vmlist/http_vm_list_base.h"

#include <cstddef>
#include <cstdint>

using namespace teaselreach;

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    try {
        vmlist::parseVmList(text, vmlist::parseVmList(text));
    } catch (const vmlist::VmListUnavailable &) {
        return 0; // The only error that the reader of the list expects.
    }
    return 0;
}
