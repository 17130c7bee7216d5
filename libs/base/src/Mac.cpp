#include <base/Mac.h>

#include <array>
#include <cassert>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

namespace base {

namespace {

constexpr std::size_t sha256Bytes = 32;

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

/** Keeps the keyed context, as key set-up takes longer than computing one code. */
struct Mac::Impl
{
    explicit Impl(std::string_view secret);
    ~Impl();

    EVP_MAC *algorithm_ = nullptr;
    EVP_MAC_CTX *context_ = nullptr;
};

Mac::Impl::Impl(std::string_view secret)
    : algorithm_(EVP_MAC_fetch(nullptr, "HMAC", nullptr))
    , context_(EVP_MAC_CTX_new(algorithm_))
{
    std::string digest = "SHA256";
    const std::array params = {
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
            OSSL_PARAM_construct_end()};
    [[maybe_unused]] const int done =
            EVP_MAC_init(context_, bytesOf(secret), secret.size(), params.data());
    assert(done == 1);
}

Mac::Impl::~Impl()
{
    EVP_MAC_CTX_free(context_);
    EVP_MAC_free(algorithm_);
}

Mac::Mac(std::string_view secret)
    : impl_(std::make_unique<Impl>(secret))
{}

Mac::~Mac() = default;
Mac::Mac(Mac &&) noexcept = default;
Mac &Mac::operator=(Mac &&) noexcept = default;

std::string Mac::compute(std::string_view text) const
{
    std::array<unsigned char, sha256Bytes> digest;
    std::size_t length = 0;
    // A null key restarts the context with the current key.
    [[maybe_unused]] const bool isDone =
            EVP_MAC_init(impl_->context_, nullptr, 0, nullptr) == 1
            && EVP_MAC_update(impl_->context_, bytesOf(text), text.size()) == 1
            && EVP_MAC_final(impl_->context_, digest.data(), &length, digest.size()) == 1;
    assert(isDone && length == sha256Bytes);
    return std::string(reinterpret_cast<const char *>(digest.data()), macBytes);
}

bool Mac::verify(std::string_view code, std::string_view text) const
{
    const auto expected = compute(text);
    return code.size() == expected.size()
           && CRYPTO_memcmp(code.data(), expected.data(), expected.size()) == 0;
}

std::string randomSecret()
{
    std::array<unsigned char, 32> bytes;
    [[maybe_unused]] const int done = RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    assert(done == 1);
    return std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size());
}

} // namespace base
