/** A worker process that does nothing but say how much memory it takes. */

const BYTES_PER_MB = 1_048_576;

process.on("message", () => {
  process.send?.({ rssMb: process.memoryUsage().rss / BYTES_PER_MB });
});
process.on("disconnect", () => process.exit());
