/* Parses, formats and rewrites CoAP datagrams (RFC 7252, 7641, 7959, 9175), based on libcoap. */
#pragma once

#include "kumquat/types.h"

#define KQ_COAP_TOKEN_BYTES 8
#define KQ_COAP_ECHO_BYTES  40
#define KQ_COAP_TEXT_BYTES  256 /* size of the path and of the query text, including the NUL */

/* Uri-Query parameters shared by callers, agents and targets. */
#define KQ_COAP_QUERY_DEADLINE "deadline" /* remaining time of the request in milliseconds */
#define KQ_COAP_QUERY_CLASS    "class"    /* class of the request, which determines its worth */

typedef enum
{
  KQ_COAP_CON,
  KQ_COAP_NON,
  KQ_COAP_ACK,
  KQ_COAP_RST
} KqCoapType;

/* A code is class.detail; KQ_COAP_CODE (5, 3) is 5.03. */
#define KQ_COAP_CODE(class, detail) ((uint8_t)(((class) << 5) | (detail)))
#define KQ_COAP_CLASS(code)         ((unsigned)(code) >> 5)

#define KQ_COAP_EMPTY               0
#define KQ_COAP_GET                 1
#define KQ_COAP_POST                2
#define KQ_COAP_PUT                 3
#define KQ_COAP_DELETE              4
#define KQ_COAP_PATCH               6
#define KQ_COAP_CREATED             KQ_COAP_CODE (2, 1)
#define KQ_COAP_CHANGED             KQ_COAP_CODE (2, 4)
#define KQ_COAP_CONTENT             KQ_COAP_CODE (2, 5)
#define KQ_COAP_BAD_REQUEST         KQ_COAP_CODE (4, 0)
#define KQ_COAP_UNAUTHORIZED        KQ_COAP_CODE (4, 1)
#define KQ_COAP_BAD_OPTION          KQ_COAP_CODE (4, 2)
#define KQ_COAP_NOT_FOUND           KQ_COAP_CODE (4, 4)
#define KQ_COAP_METHOD_NOT_ALLOWED  KQ_COAP_CODE (4, 5)
#define KQ_COAP_SERVICE_UNAVAILABLE KQ_COAP_CODE (5, 3)
#define KQ_COAP_GATEWAY_TIMEOUT     KQ_COAP_CODE (5, 4)

/**
 * struct KqCoapBlock - a Block1 or Block2 option
 * @present: whether the message has the option
 * @more: more blocks follow
 * @szx: block size is 16 << @szx bytes, 0 to 6
 * @num: block number
 */
typedef struct
{
  bool present;
  bool more;
  uint8_t szx;
  uint32_t num;
} KqCoapBlock;

/**
 * struct KqCoapMessage - one CoAP message
 * @type: confirmable, non-confirmable, acknowledgement or reset
 * @code: request method or response code
 * @message_id: matches acknowledgements and resets to messages, and detects duplicates
 * @token: matches a response to its request
 * @token_size: bytes of @token
 * @path: Uri-Path segments joined by '/', without a leading '/'
 * @query: Uri-Query parameters joined by '&'
 * @observe_present: whether @observe is present
 * @observe: 0 registers and 1 deregisters in a request; sequence number in a notification
 * @block1: block of the request payload
 * @block2: block of the response payload
 * @max_age_present: whether @max_age is present
 * @max_age: Max-Age in seconds; in a refusal, the time until a retry
 * @content_format_present: whether @content_format is present
 * @content_format: registered Content-Format number
 * @echo: value of the Echo option
 * @echo_size: bytes of @echo; 0 when the option is absent
 * @unknown_critical: has a critical option that is unknown, malformed or repeated without being
 *   repeatable
 * @payload: (borrowed): points into the parsed bytes
 * @payload_size: bytes of @payload
 */
typedef struct
{
  KqCoapType type;
  uint8_t code;
  uint16_t message_id;
  uint8_t token[KQ_COAP_TOKEN_BYTES];
  uint8_t token_size;
  char path[KQ_COAP_TEXT_BYTES];
  char query[KQ_COAP_TEXT_BYTES];
  bool observe_present;
  uint32_t observe;
  KqCoapBlock block1;
  KqCoapBlock block2;
  bool max_age_present;
  uint32_t max_age;
  bool content_format_present;
  uint16_t content_format;
  uint8_t echo[KQ_COAP_ECHO_BYTES];
  uint8_t echo_size;
  bool unknown_critical;
  const uint8_t *payload;
  size_t payload_size;
} KqCoapMessage;

/**
 * kq_coap_message_parse - parses a datagram from an untrusted sender
 * @bytes: (borrowed): the datagram; @message borrows its payload
 * @size: bytes at @bytes
 * @message: (out): parsed message; type, code, message id and token are also set on KQ_ERROR_RANGE
 * @error: (nullable): set on failure
 *
 * Return: 0, or -1 with @error set to KQ_ERROR_INVALID (malformed) or KQ_ERROR_RANGE (well formed,
 * but its path or query is too long or contains its separator or a NUL).
 */
int kq_coap_message_parse (const uint8_t *bytes, size_t size, KqCoapMessage *message,
                           KqError *error);

/**
 * kq_coap_message_format - serializes a message
 * @message: (borrowed): the message; @unknown_critical is ignored
 * @bytes: (out): output buffer
 * @capacity: bytes at @bytes
 *
 * Return: the number of bytes written, or -1 when they do not fit.
 */
int kq_coap_message_format (const KqCoapMessage *message, uint8_t *bytes, size_t capacity);

/** kq_coap_query_text - copies the value of a parameter; Return: false when missing or too long */
bool kq_coap_query_text (const KqCoapMessage *message, const char *name, char *value,
                         size_t capacity);

/** kq_coap_query_number - parses a decimal parameter; Return: false when missing or invalid */
bool kq_coap_query_number (const KqCoapMessage *message, const char *name, uint32_t *value);

/**
 * struct KqCoapRewrite - changes to a received message before it is forwarded
 * @type: new type
 * @message_id: new message id
 * @token: new token
 * @token_size: bytes of @token
 * @strip_echo: removes the Echo option
 * @set_deadline: sets the query parameter "deadline"
 * @deadline_ms: new value of that parameter
 */
typedef struct
{
  KqCoapType type;
  uint16_t message_id;
  uint8_t token[KQ_COAP_TOKEN_BYTES];
  uint8_t token_size;
  bool strip_echo;
  bool set_deadline;
  uint32_t deadline_ms;
} KqCoapRewrite;

/**
 * kq_coap_rewrite - copies a received datagram with a new header; other options are unchanged
 * @bytes: (borrowed): a datagram that kq_coap_message_parse() accepted
 * @size: bytes at @bytes
 * @rewrite: (borrowed): the changes
 * @out: (out): output buffer; must not overlap @bytes
 * @capacity: bytes at @out
 *
 * Return: the number of bytes written, or -1 when they do not fit or @bytes is malformed.
 */
int kq_coap_rewrite (const uint8_t *bytes, size_t size, const KqCoapRewrite *rewrite, uint8_t *out,
                     size_t capacity);

/**
 * kq_coap_reduce_deadline - copies a request with its deadline reduced by the elapsed time
 * @bytes: (borrowed): a request that kq_coap_message_parse() accepted
 * @size: bytes at @bytes
 * @elapsed_us: time since this process received the request
 * @default_us: deadline of a request that states none
 * @out: (out): output buffer; must not overlap @bytes
 * @capacity: bytes at @out
 *
 * Return: the number of bytes written, 0 when no time is left, or -1 when they do not fit or @bytes
 * is malformed.
 */
int kq_coap_reduce_deadline (const uint8_t *bytes, size_t size, KqTime elapsed_us,
                             KqTime default_us, uint8_t *out, size_t capacity);
