import java.nio.file.Path;

/** Runs one case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {

    private Case() {}

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Path root = Path.of("").toAbsolutePath();
        try (Record record = new Record(Path.of(args[1]))) {
            record.line("case " + args[0] + ", " + (trouble ? "with" : "without") + " the disruption");
            try (Daemons processes = new Daemons(root)) {
                status = switch (args[0]) {
                    case "usage" -> UsageCase.run(
                            record,
                            trouble && !"drill".equals(System.getenv("WITHOUT")),
                            trouble && !"restart".equals(System.getenv("WITHOUT")),
                            processes);
                    case "versions" -> VersionsCase.run(record, trouble, processes);
                    case "memory" -> MemoryCase.run(record, trouble, processes);
                    case "takeup" -> TakeUpCase.run(
                            record,
                            trouble && !"kill".equals(System.getenv("WITHOUT")),
                            !"release".equals(System.getenv("WITHOUT")),
                            processes);
                    default -> throw new IllegalArgumentException("no such case: " + args[0]);
                };
            } catch (Exception e) {
                record.line("the case could not run: " + e);
                status = 2;
            }
            record.line("exit " + status);
        } catch (Exception e) {
            System.out.println("no record: " + e);
        }
        System.exit(status);
    }
}
