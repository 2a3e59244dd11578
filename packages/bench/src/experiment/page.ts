export function writePage(_dir: string, _data: unknown): Promise<string> {
  return Promise.resolve("");
}
