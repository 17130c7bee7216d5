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
        return DecideLocally{std::move(*key)};
    if (key->home_.id_ == self.id_)
        return Unknown{Reason::OtherGeneration};
    return ForwardToHome{std::move(*key)};
}

bool isIssuedFor(std::string_view keyText, std::string_view service)
{
    const auto key = Key::parse(keyText);
    return key && key->service_ == service;
}

bool mayHaveRun(std::string_view keyText, bool hasContext)
{
    return !keyText.empty() && (hasContext || Key::parse(keyText));
}

Unknown homeUnreachable()
{
    return Unknown{Reason::HomeUnreachable};
}

} // namespace once
