/** Idle worker process that reports its resident memory when requested. */

const BYTES_PER_MB = 1_048_576;

process.on("message", () => {
  process.send?.({ rssMb: process.memoryUsage().rss / BYTES_PER_MB });
});
process.on("disconnect", () => process.exit());
