#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/settings.h"
#include "unit.h"

static const KqSettingSpec specs[] = {
  { "name", KQ_SETTING_TEXT, true, 1, 31, NULL, "name of the instance" },
  { "data.listen", KQ_SETTING_ADDRESS, false, 0, 0, "127.0.0.1:1", "address" },
  { "data.workers", KQ_SETTING_INTEGER, false, 1, 16, "2", "workers" },
  { "data.fast", KQ_SETTING_BOOLEAN, false, 0, 0, "false", "a flag" },
  { "control.seeds", KQ_SETTING_ADDRESS_LIST, false, 0, 2, "", "addresses" },
};

static KqSettings *
load (const char *text, KqError *error)
{
  char path[] = "/tmp/kq-settings-XXXXXX";
  int fd = mkstemp (path);
  CU_ASSERT_FATAL (fd >= 0 && write (fd, text, strlen (text)) == (ssize_t)strlen (text));
  close (fd);
  KqSettings *settings =
      kq_settings_load (NULL, path, specs, sizeof specs / sizeof specs[0], error);
  char *line = strstr (error->message, path);
  if (line != NULL)
    memmove (line, line + strlen (path), strlen (line + strlen (path)) + 1);
  unlink (path);
  return settings;
}

static void
test_values_and_defaults (void)
{
  KqError error = { 0 };
  KqAddress seeds[2];
  KqSettings *settings = load ("name = \"b1\"\n[data]\nworkers = 4\nfast = true\n[control]\n"
                               "seeds = [\"127.0.0.1:7\", \"[::1]:8\"]\n",
                               &error);
  CU_ASSERT_FATAL (settings != NULL);
  CU_ASSERT_STRING_EQUAL (kq_settings_text (settings, "name"), "b1");
  CU_ASSERT (kq_settings_integer (settings, "data.workers") == 4);
  CU_ASSERT (kq_settings_boolean (settings, "data.fast"));
  CU_ASSERT (kq_settings_address (settings, "data.listen").port == 1);
  CU_ASSERT (kq_settings_address_list (settings, "control.seeds", seeds, 2) == 2);
  CU_ASSERT (seeds[1].port == 8);
  talloc_free (settings);
}

/**
 * struct Fault - an invalid file and the expected error message
 */
typedef struct
{
  const char *text;
  const char *message;
} InvalidFile;

static void
test_errors_name_line_key_and_remedy (void)
{
  static const InvalidFile invalid_files[] = {
    { "name = \"b1\"\ncolour = 1\n",
      ":2: colour: unknown key; remove it or correct its name, see docs/reference/settings.md" },
    { "name = 7\n", ":1: name: wrong type; write a quoted string" },
    { "name = \"b1\"\n\n[data]\nworkers = 17\n", ":4: data.workers: is 17; set it from 1 to 16" },
    { "name = \"\"\n", ":1: name: has length 0; set it from 1 to 31" },
    { "", ":1: name: missing key; add a quoted string, name of the instance" },
    { "name = \"b1\"\n[data]\nlisten = \"there\"\n",
      ":3: data.listen: 'there' is not an address; write it as 127.0.0.1:5683 or [::1]:5683" },
    { "name = \"b1\"\n[control]\nseeds = [1]\n",
      ":3: control.seeds: wrong type; write a list of addresses such as [\"127.0.0.1:5683\"]" },
    { "name = \"b1\"\n[control]\nseeds = [\"a\"]\n",
      ":3: control.seeds: 'a' is not an address; write it as 127.0.0.1:5683 or [::1]:5683" },
  };
  for (size_t i = 0; i < sizeof invalid_files / sizeof invalid_files[0]; i++)
    {
      KqError error = { 0 };
      CU_ASSERT (load (invalid_files[i].text, &error) == NULL);
      CU_ASSERT_STRING_EQUAL (error.message, invalid_files[i].message);
    }
}

static void
test_syntax_error_names_its_line (void)
{
  KqError error = { 0 };
  CU_ASSERT (load ("name = \"b1\"\nx = = 1\n", &error) == NULL);
  CU_ASSERT (strncmp (error.message, ":2: -: ", 7) == 0);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "values and defaults", test_values_and_defaults },
    { "errors name line, key and remedy", test_errors_name_line_key_and_remedy },
    { "syntax error names its line", test_syntax_error_names_its_line },
  };
  return kq_unit_run ("settings", tests, sizeof tests / sizeof tests[0]);
}
