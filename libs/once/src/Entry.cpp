#include <once/Entry.h>

namespace once {

EntryDecision decideAtEntry(const Incarnation &self, std::string_view keyText,
                            bool hasUnknownContext)
{
    auto key = Key::parse(keyText);
    if (!key) {
        if (hasUnknownContext)
            return Unknown{Reason::OtherGeneration};
        return NotRun{Reason::BadKey, {}};
    }
    if (key->home_ == self)
        return DecideHere{std::move(*key)};
    if (key->home_.id_ == self.id_)
        return Unknown{Reason::OtherGeneration};
    return ForwardToHome{std::move(*key)};
}

Unknown homeGaveNoAnswer()
{
    return Unknown{Reason::HomeUnreachable};
}

} // namespace once
