// Which keys a settings text must hold. The interface page of the simulator describes each key, and names one
// that may be absent, `classes[].aim_stretch`; a text that lacks any other key of its form is defective.
#pragma once

#include "settings/key_value_pairs.hpp"

namespace amberknot::settings {

/// Throws SettingsError, which names the key, if `settings` lacks one that its form requires. A form has no
/// use for some keys: tenants and their shares, load reports, the pools of each class.
void check_required_keys(const KeyValuePairs& settings);

/// Throws SettingsError, which names the key, if `updated` lacks one that `current` holds. It finds missing
/// keys whose need cannot be told from the text alone, for example that of the tenants. Of a list, it
/// compares the keys that all of its items hold, since items may be added and removed.
void check_keys_retained(const KeyValuePairs& current, const KeyValuePairs& updated);

}  // namespace amberknot::settings
