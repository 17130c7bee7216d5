#pragma once

#include <memory>
#include <optional>

#include <base/Millis.h>
#include <identity/Decision.h>
#include <identity/Limits.h>
#include <identity/Request.h>
#include <model/Config.h>

namespace identity {

/**
 * Decides whether a request may be served and whose it is.
 *
 * Evidence confirmed at a time proves that no newer configuration had been written by then, so a
 * request received while the evidence is younger than the revocation time has no key that was
 * withdrawn longer ago than that.
 *
 * No I/O, clock or thread: the caller passes in times, which must include times when the machine
 * was suspended. decide() does not allocate.
 */
class Core
{
public:
    explicit Core(const Limits &limits);

    /** Applies a configuration; earlier evidence holds for it as well. */
    void configure(std::shared_ptr<const model::Config> config);

    /** No configuration newer than the one in force had been written by the given time. */
    void confirm(base::Millis confirmedAt);

    /** Whether the configuration requires keys; otherwise everything is admitted. */
    bool isActive() const { return config_ != nullptr && config_->requiresKeys_; }

    Decision decide(const Request &request, base::Millis now) const;

    /** Whether the configuration is recent enough to refuse what it does not know. */
    bool isCurrent(base::Millis now) const;

    /** The refusal of requests whose configuration is not confirmed. */
    static Unconfirmed unconfirmed();

    /** Age of the evidence; Millis::max() if there is none. */
    base::Millis evidenceAge(base::Millis now) const;

private:
    Decision refusal(base::Millis now) const;

    const Limits limits_;
    std::shared_ptr<const model::Config> config_;
    std::optional<base::Millis> confirmedAt_;
};

} // namespace identity
