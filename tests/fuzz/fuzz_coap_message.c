/* Fuzzes the CoAP parser with every truncation and seeded mutations of valid messages. Checks that
 * nothing outside the datagram is read, that the result agrees with libcoap, and that an accepted
 * message can be rewritten. */
#include <coap3/coap.h>
#include <stdio.h>
#include <stdlib.h>

#include "fuzz.h"
#include "kumquat/coap_message.h"

#define MUTATIONS 200000
#define SEED      20

static KqCoapMessage
sample (KqRandom *random)
{
  KqCoapMessage message = { .type = (KqCoapType)kq_random_below (random, 4),
                            .code = KQ_COAP_POST,
                            .message_id = (uint16_t)kq_random_next (random),
                            .token = { 1, 2, 3, 4 },
                            .token_size = (uint8_t)kq_random_below (random, 9),
                            .path = "marks/hall-7",
                            .query = "deadline=1500&class=mark",
                            .observe_present = kq_random_below (random, 2) == 0,
                            .block2 = { .present = true, .szx = 6, .num = 300 },
                            .block1 = { .present = kq_random_below (random, 2) == 0, .more = true },
                            .max_age_present = true,
                            .max_age = 70000,
                            .echo = "0123456789abcdef",
                            .echo_size = (uint8_t)kq_random_below (random, 41),
                            .payload = (const uint8_t *)"wall",
                            .payload_size = kq_random_below (random, 5) };
  return message;
}

static void
fail (const char *what)
{
  fprintf (stderr, "fuzz_coap_message: %s\n", what);
  exit (1);
}

/* Codes reserved by RFC 7252 and codes of CoAP over TCP, which libcoap does not check. */
static bool
is_reserved (uint8_t code)
{
  unsigned class = KQ_COAP_CLASS (code);
  return class == 1 || class > 5;
}

static void
compare_with_libcoap (const uint8_t *bytes, size_t size)
{
  coap_pdu_t *pdu = coap_pdu_init (COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, size);
  coap_opt_iterator_t iterator;
  size_t data_size = 0;
  const uint8_t *data = NULL;
  KqCoapMessage message;
  if (coap_pdu_parse (COAP_PROTO_UDP, bytes, size, pdu) != 0)
    {
      KqError error = { 0 };
      bool accepted = kq_coap_message_parse (bytes, size, &message, &error) == 0;
      if (!accepted && error.kind != KQ_ERROR_RANGE && !is_reserved (bytes[1]))
        fail ("rejected a message that libcoap accepts");
      coap_option_iterator_init (pdu, &iterator, COAP_OPT_ALL);
      coap_get_data (pdu, &data_size, &data);
      if (accepted &&
          (data_size != message.payload_size || coap_pdu_get_mid (pdu) != message.message_id))
        fail ("payload or message id differs from libcoap");
    }
  coap_delete_pdu (pdu);
}

static void
check (const uint8_t *bytes, size_t size)
{
  uint8_t *copy = calloc (1, size > 0 ? size : 1);
  uint8_t out[KQ_FUZZ_BYTES + 64];
  KqCoapMessage message;
  KqCoapMessage again;
  KqCoapRewrite rewrite = {
    .message_id = 7, .token_size = 8, .strip_echo = true, .set_deadline = true, .deadline_ms = 9
  };
  if (copy == NULL)
    exit (1);
  memcpy (copy, bytes, size);
  int parsed = kq_coap_message_parse (copy, size, &message, NULL);
  int written = kq_coap_rewrite (copy, size, &rewrite, out, sizeof out);
  if (parsed == 0 && written < 0)
    fail ("an accepted message could not be rewritten");
  if (parsed == 0 && message.code != KQ_COAP_EMPTY &&
      kq_coap_message_parse (out, (size_t)written, &again, NULL) == 0 &&
      (again.echo_size != 0 || again.payload_size != message.payload_size))
    fail ("a rewritten message differs from the original");
  compare_with_libcoap (copy, size);
  free (copy);
}

int
main (void)
{
  KqRandom random;
  uint8_t bytes[KQ_FUZZ_BYTES];
  coap_set_log_level (LOG_EMERG);
  kq_random_seed (&random, SEED);
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      KqCoapMessage message = sample (&random);
      int size = kq_coap_message_format (&message, bytes, sizeof bytes);
      if (size < 0)
        fail ("a valid message could not be formatted");
      for (int cut = 0; i < 100 && cut <= size; cut++)
        check (bytes, (size_t)cut);
      check (bytes, kq_fuzz_mutate (&random, bytes, (size_t)size));
    }
  printf ("%u mutations\n", MUTATIONS);
  return 0;
}
