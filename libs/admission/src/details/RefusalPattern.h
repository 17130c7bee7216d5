#pragma once

namespace admission::details {

/**
 * Whether refusals by the backend server depend on its load. A full server refuses more of its
 * requests while many of them run; one that refuses a share of all requests does so at any load,
 * and running fewer requests would only add an overload to its refusals.
 */
class RefusalPattern
{
public:
    /** Records a request that ended; isBusy: more than half of the slots were in use. */
    void record(bool isRefused, bool isBusy);

    /** Ends a window; counts cover about the last two seconds. */
    void closeWindow();

    /** True unless the server refuses nearly as often while at most half of its slots are in use.
     */
    bool isLoadDependent() const;

private:
    struct Counts
    {
        double ended_ = 0;
        double refused_ = 0;

        void decay(double factor)
        {
            ended_ *= factor;
            refused_ *= factor;
        }

        double share() const { return ended_ > 0 ? refused_ / ended_ : 0; }
    };

    Counts idle_;
    Counts busy_;
};

} // namespace admission::details
