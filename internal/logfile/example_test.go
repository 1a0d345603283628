package logfile_test

import (
	"fmt"
	"os"

	"wallflow/internal/logfile"
)

// Appended records are read back when the file is opened again.
func ExampleOpen() {
	directory, err := os.MkdirTemp("", "logfile")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	file, _, _, err := logfile.Open(directory, logfile.Limits{})
	if err != nil {
		panic(err)
	}
	if err := file.Append([]logfile.Record{{Type: 1, Payload: []byte("berth 4")}, {Type: 2, Payload: []byte("gate 9")}}); err != nil {
		panic(err)
	}
	if err := file.Close(); err != nil {
		panic(err)
	}
	_, records, report, err := logfile.Open(directory, logfile.Limits{})
	if err != nil {
		panic(err)
	}
	for _, record := range records {
		fmt.Println(record.Type, string(record.Payload))
	}
	fmt.Println("torn:", report.TornKind != "")
	// Output:
	// 1 berth 4
	// 2 gate 9
	// torn: false
}
