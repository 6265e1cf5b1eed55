# 99th percentile of urgent requests alone, under a bulk flood, and under the same flood sent as urgent. Called by
# scripts/measure with the variables output and results.
set terminal svg size 640,400 font "sans-serif,12"
set output output
set grid ytics
set ylabel "urgent requests, 99th percentile, ms"
set yrange [0:*]
set xrange [-0.5:2.5]
set boxwidth 0.5
set style fill solid 0.4
plot results."/floods.dat" using 0:2:3:4:xtic(1) with boxerrorbars notitle
