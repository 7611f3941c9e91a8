/* Writes the report as a self-contained HTML page; the plots are inline SVG, so that the page loads
 * no other file. */

#include <string.h>

#include "kumquat/internal/ctl_impl.h"

#define BAR_LENGTH     400
#define BAR_HEIGHT     18
#define LABEL_WIDTH    140
#define BURN_SCALE_MAX 15.0 /* covers the fast-burn threshold of 14.4 */

static void
write_bar (FILE *out, unsigned row, const char *label, double value, double max_value,
           const char *colour)
{
  double length = max_value > 0 ? value / max_value * BAR_LENGTH : 0;
  if (length > BAR_LENGTH)
    length = BAR_LENGTH;
  unsigned top = row * (BAR_HEIGHT + 4);
  fprintf (out,
           "<text x=\"0\" y=\"%u\">%s</text><rect x=\"%d\" y=\"%u\" width=\"%.1f\" height=\"%d\" "
           "fill=\"%s\"/><text x=\"%.1f\" y=\"%u\">%.2f</text>\n",
           top + 14, label, LABEL_WIDTH, top, length, BAR_HEIGHT, colour, LABEL_WIDTH + length + 4,
           top + 14, value);
}

static void
write_plot (FILE *out, const char *title, const json_t *list, const char *label, const char *key,
            double max_value)
{
  size_t index;
  const json_t *item;
  fprintf (out, "<h3>%s</h3>\n<svg width=\"620\" height=\"%zu\">\n", title,
           json_array_size (list) * (BAR_HEIGHT + 4));
  json_array_foreach (list, index, item)
  {
    double value = kq_ctl_json_number (item, key);
    write_bar (out, (unsigned)index, kq_ctl_json_text (item, label), value, max_value,
               value >= 14.4 && max_value == BURN_SCALE_MAX ? "#c0392b" : "#2c7fb8");
  }
  fputs ("</svg>\n", out);
}

static double
max_member (const json_t *list, const char *key)
{
  size_t index;
  const json_t *item;
  double max_value = 0;
  json_array_foreach (list, index, item)
  {
    if (kq_ctl_json_number (item, key) > max_value)
      max_value = kq_ctl_json_number (item, key);
  }
  return max_value;
}

static void
write_service (FILE *out, const json_t *service)
{
  const json_t *targets = json_object_get (service, "targets");
  const json_t *domains = json_object_get (service, "failure_domains");
  fprintf (
      out,
      "<h2>%s</h2>\n<p>%.0f permille within %.0f ms. Budget left %.1f%%. Fast burn: %s. Slow "
      "burn: %s. Broken flows: %.0f. Imbalance: %.2f. Worth answered: %.0f. Late %.0f, refused "
      "%.0f, unknown %.0f.</p>\n",
      kq_ctl_json_text (service, "name"), kq_ctl_json_number (service, "slo_permille"),
      kq_ctl_json_number (service, "slo_latency_ms"),
      kq_ctl_json_number (service, "budget_left_percent"),
      json_is_true (json_object_get (service, "fast_burn")) ? "yes" : "no",
      json_is_true (json_object_get (service, "slow_burn")) ? "yes" : "no",
      kq_ctl_json_number (service, "broken_flows"), kq_ctl_json_number (service, "imbalance"),
      kq_ctl_json_number (service, "worth"), kq_ctl_json_number (service, "late"),
      kq_ctl_json_number (service, "refused"), kq_ctl_json_number (service, "unknown"));
  write_plot (out, "Burn rate by window", json_object_get (service, "windows"), "window", "burn",
              BURN_SCALE_MAX);
  write_plot (out, "Burn rate of the last hour by failure domain", domains, "name", "burn_1h",
              BURN_SCALE_MAX);
  write_plot (out, "Burn rate of the last hour by target", targets, "name", "burn_1h",
              BURN_SCALE_MAX);
  write_plot (out, "Requests answered by target", targets, "name", "answered",
              max_member (targets, "answered"));
  write_plot (out, "Worth answered by target", targets, "name", "worth",
              max_member (targets, "worth"));
}

void
kq_ctl_write_page (FILE *out, const json_t *report)
{
  size_t index;
  const json_t *service;
  fputs ("<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>Service-level burn</title>\n"
         "<style>body{font:14px sans-serif;margin:2em}svg text{font:12px sans-serif}</style>"
         "</head><body>\n<h1>Service-level burn</h1>\n",
         out);
  json_array_foreach (json_object_get (report, "services"), index, service)
  {
    write_service (out, service);
  }
  fprintf (out, "<p>%s</p>\n</body></html>\n", kq_ctl_json_text (report, "survival"));
}
