/** Returns the items in random order; `random` returns numbers in [0, 1). */
export function shuffle<T>(items: readonly T[], random: () => number): T[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const index = Math.floor(random() * (last + 1));
    const swapped = shuffled[last]!;
    shuffled[last] = shuffled[index]!;
    shuffled[index] = swapped;
  }
  return shuffled;
}
